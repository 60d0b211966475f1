/*
 * Acceptance of manifests on the configuration stream: two operators publish concurrently, one
 * snapshot is written, retention removes the first record, and two readers determine the current
 * version.
 *
 * A version is the offset of its publication plus one; 0 represents none. Operator 0 may append its
 * manifest twice, as a retry after a lost response does. Each variant removes one guard and must
 * violate an assertion:
 */
// MUTATION: NO_BASE_CHECK    a manifest is accepted whatever its base
// MUTATION: NO_AS_OF_CHECK   a snapshot is used although records after its as_of were removed
// MUTATION: ACCEPT_LOWER     a reader activates a lower version of its peer

#define LENGTH 4

typedef Record { bool isSnapshot; byte author; byte version; byte asOf };

Record log[LENGTH];
byte length = 0;
byte firstOffset = 0;
/*
 * The version that a reader of every record knows after each offset; the checked rule never reads
 * it.
 */
byte expectedVersion = 0;
byte expectedVersionAfter[LENGTH];

byte nextOffset[2];
byte currentVersion[2];
byte activeVersion[2];
bool isVersionKnown[2] = true;

inline append(snapshot, recordAuthor, recordVersion, recordAsOf) {
  log[length].isSnapshot = snapshot;
  log[length].author = recordAuthor;
  log[length].version = recordVersion;
  log[length].asOf = recordAsOf;
  if
  :: snapshot || (expectedVersion > 0 && log[expectedVersion - 1].author == recordAuthor) || recordVersion != expectedVersion -> skip
  :: else -> expectedVersion = length + 1
  fi;
  expectedVersionAfter[length] = expectedVersion;
  length++
}

inline applyPublication(reader, offset) {
  if
  :: log[offset].isSnapshot -> skip
  :: !log[offset].isSnapshot && currentVersion[reader] > 0 && log[currentVersion[reader] - 1].author == log[offset].author
  :: else ->
#ifndef NO_BASE_CHECK
    if
    :: log[offset].version == currentVersion[reader] -> currentVersion[reader] = offset + 1
    :: else
    fi
#else
    currentVersion[reader] = offset + 1
#endif
  fi
}

inline activateIfNewer(reader, candidate) {
  if
#ifdef ACCEPT_LOWER
  :: candidate != activeVersion[reader] && candidate > 0 ->
#else
  :: candidate > activeVersion[reader] ->
#endif
    assert(candidate > activeVersion[reader]);
    activeVersion[reader] = candidate
  :: else
  fi
}

proctype Operator(byte operator) {
  byte base;
  /* Not an initialiser, because that would be evaluated when the process is created. */
  base = expectedVersion;
  d_step { append(false, operator, base, 0) };
  if
  :: operator == 0 -> d_step { append(false, operator, base, 0) }
  :: true
  fi
}

proctype Writer() {
  byte readOffset = 0;
  byte knownVersion = 0;
  /* Stops reading at any offset; the snapshot is appended later. */
  do
  :: d_step { readOffset < length -> knownVersion = expectedVersionAfter[readOffset]; readOffset++ }
  :: break
  od;
  atomic { append(true, 0, knownVersion, readOffset) }
}

proctype Reader(byte reader) {
  byte startOffset = 0;
  byte offset = 0;
  bool mayRestart = (reader == 1);
end:
  do
  :: d_step {
      nextOffset[reader] >= firstOffset && nextOffset[reader] < length ->
      if
      :: isVersionKnown[reader] -> applyPublication(reader, nextOffset[reader])
#ifdef NO_AS_OF_CHECK
      :: !isVersionKnown[reader] && log[nextOffset[reader]].isSnapshot ->
#else
      :: !isVersionKnown[reader] && log[nextOffset[reader]].isSnapshot && log[nextOffset[reader]].asOf >= startOffset ->
#endif
        isVersionKnown[reader] = true;
        currentVersion[reader] = log[nextOffset[reader]].version;
        /* Applies the retained publications that the writer of the snapshot had not read. */
        offset = (log[nextOffset[reader]].asOf > startOffset -> log[nextOffset[reader]].asOf : startOffset);
        do
        :: offset < nextOffset[reader] -> applyPublication(reader, offset); offset++
        :: else -> break
        od;
        offset = 0
      :: else
      fi;
      nextOffset[reader]++;
      if
      :: isVersionKnown[reader] -> assert(currentVersion[reader] == expectedVersionAfter[nextOffset[reader] - 1]); activateIfNewer(reader, currentVersion[reader])
      :: else
      fi;
      assert(!isVersionKnown[0] || !isVersionKnown[1] || nextOffset[0] != nextOffset[1] || currentVersion[0] == currentVersion[1])
    }
  :: d_step {
      nextOffset[reader] < firstOffset || mayRestart ->
      if
      :: nextOffset[reader] >= firstOffset -> mayRestart = false; activeVersion[reader] = 0
      :: else
      fi;
      startOffset = firstOffset;
      nextOffset[reader] = firstOffset;
      currentVersion[reader] = 0;
      isVersionKnown[reader] = (firstOffset == 0)
    }
  :: d_step { activeVersion[1 - reader] != activeVersion[reader] -> activateIfNewer(reader, activeVersion[1 - reader]) }
  od
}

/* Removes the first record at most once. */
proctype Retention() {
end:
  d_step { length > 0 -> firstOffset = 1 }
}

init {
  atomic { run Operator(0); run Operator(1); run Writer(); run Reader(0); run Reader(1); run Retention() }
}
