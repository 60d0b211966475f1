/*
 * Acceptance of manifests on the configuration stream: two operators race, one snapshot is written,
 * retention drops the first record, and two readers decide which version is current.
 *
 * A version is the offset of its publication plus one; 0 stands for none. Operator 0 may append its
 * manifest twice, as after a lost answer. Each variant removes one guard and must violate an
 * assertion:
 */
// MUTATION: NO_BASE_CHECK    a manifest is accepted whatever its base
// MUTATION: NO_AS_OF_CHECK   a snapshot is used although records after its as_of were dropped
// MUTATION: ACCEPT_LOWER     a reader puts a lower version of its peer in force

#define LENGTH 4

typedef Record { bool isSnapshot; byte author; byte version; byte asOf };

Record log[LENGTH];
byte length = 0;
byte first = 0;
/* The version that a reader of every record knows after each offset; never read by the rule. */
byte truth = 0;
byte truthAfter[LENGTH];

byte next[2];
byte current[2];
byte inForce[2];
bool isDecided[2] = true;

inline append(snapshot, itsAuthor, itsVersion, itsAsOf) {
  log[length].isSnapshot = snapshot;
  log[length].author = itsAuthor;
  log[length].version = itsVersion;
  log[length].asOf = itsAsOf;
  if
  :: snapshot || (truth > 0 && log[truth - 1].author == itsAuthor) || itsVersion != truth -> skip
  :: else -> truth = length + 1
  fi;
  truthAfter[length] = truth;
  length++
}

inline judge(me, offset) {
  if
  :: log[offset].isSnapshot -> skip
  :: !log[offset].isSnapshot && current[me] > 0 && log[current[me] - 1].author == log[offset].author
  :: else ->
#ifndef NO_BASE_CHECK
    if
    :: log[offset].version == current[me] -> current[me] = offset + 1
    :: else
    fi
#else
    current[me] = offset + 1
#endif
  fi
}

inline offer(me, offered) {
  if
#ifdef ACCEPT_LOWER
  :: offered != inForce[me] && offered > 0 ->
#else
  :: offered > inForce[me] ->
#endif
    assert(offered > inForce[me]);
    inForce[me] = offered
  :: else
  fi
}

proctype Operator(byte number) {
  byte base;
  /* A statement, because an initialiser is evaluated when the process is created. */
  base = truth;
  d_step { append(false, number, base, 0) };
  if
  :: number == 0 -> d_step { append(false, number, base, 0) }
  :: true
  fi
}

proctype Writer() {
  byte read = 0;
  byte known = 0;
  /* Stops at any place of the stream; the snapshot is appended later. */
  do
  :: d_step { read < length -> known = truthAfter[read]; read++ }
  :: break
  od;
  atomic { append(true, 0, known, read) }
}

proctype Reader(byte me) {
  byte start = 0;
  byte offset = 0;
  bool mayRestart = (me == 1);
end:
  do
  :: d_step {
      next[me] >= first && next[me] < length ->
      if
      :: isDecided[me] -> judge(me, next[me])
#ifdef NO_AS_OF_CHECK
      :: !isDecided[me] && log[next[me]].isSnapshot ->
#else
      :: !isDecided[me] && log[next[me]].isSnapshot && log[next[me]].asOf >= start ->
#endif
        isDecided[me] = true;
        current[me] = log[next[me]].version;
        /* Judges the kept publications that the writer of the snapshot had not read. */
        offset = (log[next[me]].asOf > start -> log[next[me]].asOf : start);
        do
        :: offset < next[me] -> judge(me, offset); offset++
        :: else -> break
        od;
        offset = 0
      :: else
      fi;
      next[me]++;
      if
      :: isDecided[me] -> assert(current[me] == truthAfter[next[me] - 1]); offer(me, current[me])
      :: else
      fi;
      assert(!isDecided[0] || !isDecided[1] || next[0] != next[1] || current[0] == current[1])
    }
  :: d_step {
      next[me] < first || mayRestart ->
      if
      :: next[me] >= first -> mayRestart = false; inForce[me] = 0
      :: else
      fi;
      start = first;
      next[me] = first;
      current[me] = 0;
      isDecided[me] = (first == 0)
    }
  :: d_step { inForce[1 - me] != inForce[me] -> offer(me, inForce[1 - me]) }
  od
}

/* Drops the first record once, or never. */
proctype Retention() {
end:
  d_step { length > 0 -> first = 1 }
}

init {
  atomic { run Operator(0); run Operator(1); run Writer(); run Reader(0); run Reader(1); run Retention() }
}
