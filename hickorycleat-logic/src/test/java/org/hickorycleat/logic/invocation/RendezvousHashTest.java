package org.hickorycleat.logic.invocation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.hickorycleat.model.identifier.IdempotencyKey;
import org.hickorycleat.model.identifier.InstanceNumber;
import org.hickorycleat.model.identifier.ServiceName;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
    private static final int KEYS = 11_000;

    private static List<Long> choices(int instances) {
        List<InstanceNumber> numbers =
                LongStream.range(0, instances).mapToObj(InstanceNumber::new).toList();
        return IntStream.range(0, KEYS)
                .mapToObj(index -> new IdempotencyKey("key" + index))
                .map(key -> RendezvousHash.choose(new ServiceName("booking"), key, numbers))
                .map(instance -> instance.orElseThrow().value())
                .toList();
    }

    /**
     * Guards against a change of the function, after which old and new processes would disagree.
     */
    @Test
    void keepsItsValues() {
        // Values of an independent implementation of the documented function.
        assertThat(choices(11).subList(0, 8)).containsExactly(4L, 0L, 6L, 4L, 10L, 7L, 7L, 9L);
    }

    /** Guards against uneven distribution of keys and against unnecessary moves of keys. */
    @Test
    void spreadsKeysAndMovesFew() {
        List<Long> before = new ArrayList<>(choices(11));
        List<Long> after = choices(12);
        for (long instance = 0; instance < 11; instance++) {
            long each = instance;
            assertThat(before.stream().filter(choice -> choice == each).count())
                    .isBetween(KEYS / 11 * 85L / 100, KEYS / 11 * 115L / 100);
        }
        for (int index = 0; index < KEYS; index++) {
            assertThat(after.get(index)).isIn(before.get(index), 11L);
        }
    }
}
