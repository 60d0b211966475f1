package org.hickorycleat.daemon.entry;

import java.util.List;
import org.hickorycleat.logic.ownership.ShardDump;
import org.hickorycleat.model.message.EntryAddress;
import org.hickorycleat.model.message.Hello;

/** Internal state of an entry for {@code GET /admin/dump}. */
record EntryDump(
        Object status,
        List<EntryAddress> liveEntries,
        List<Hello> agents,
        RequestPipeline.State requests,
        List<ShardDump> shards) {}
