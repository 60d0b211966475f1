package org.hickorycleat.logic.election;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ProcessCapacityTest {
    @ParameterizedTest
    @CsvSource({
        "750, 2, 200000, 1500",
        "360, 1, 10000, 200",
        "360, 1, , 360",
        "1000, 4, 1000000, 4000",
        "500, 0, , 500",
        "500, 1, 0, 1",
    })
    void isBoundedByProcessorsAndLink(
            long processorShareMilli, int processors, Long linkKbps, long expectedMilli) {
        OptionalLong link = linkKbps == null ? OptionalLong.empty() : OptionalLong.of(linkKbps);

        assertThat(ProcessCapacity.milli(processorShareMilli, processors, link))
                .isEqualTo(expectedMilli);
    }
}
