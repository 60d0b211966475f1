package org.hickorycleat.model.task;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

class ResourcesTest {
    /** Guards against overcommitting a worker in a dimension that is not checked. */
    @Property(seed = "1", tries = 200)
    void fitsOnlyWhenEveryDimensionFits(
            @ForAll @LongRange(max = 3) long processors,
            @ForAll @LongRange(max = 3) long memory,
            @ForAll @LongRange(max = 3) long accelerators) {
        Resources capacity = new Resources(2, 2, 2);

        assertThat(new Resources(processors, memory, accelerators).fitsInto(capacity))
                .isEqualTo(processors <= 2 && memory <= 2 && accelerators <= 2);
    }

    /** Guards against releasing a reservation twice. */
    @Test
    void rejectsNegativeDifference() {
        assertThatThrownBy(() -> Resources.NONE.minus(new Resources(1, 0, 0)))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
