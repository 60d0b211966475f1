package org.hickorycleat.model.result;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ResultCodeTest {
    /** Guards against an undocumented result code or an outdated row in the documentation. */
    @Test
    void documentationListsExactlyTheCodes() throws IOException {
        List<String> documented =
                Files.readAllLines(Path.of("..", "docs", "result-codes.md")).stream()
                        .filter(line -> line.matches("\\| \\d+ \\|.*"))
                        .map(ResultCodeTest::firstFourCells)
                        .collect(Collectors.toList());

        List<String> expected =
                Arrays.stream(ResultCode.values())
                        .map(ResultCodeTest::row)
                        .collect(Collectors.toList());

        assertThat(documented).containsExactlyElementsOf(expected);
    }

    /** Guards against two codes with the same number. */
    @Test
    void numbersAreUnique() {
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number))
                .doesNotHaveDuplicates();
    }

    private static String row(ResultCode code) {
        return String.join(
                " | ",
                Integer.toString(code.number()),
                code.name(),
                code.outcome().headerValue(),
                Integer.toString(code.httpStatus()));
    }

    private static String firstFourCells(String line) {
        String[] cells = line.split("\\|");
        return String.join(
                " | ", cells[1].strip(), cells[2].strip(), cells[3].strip(), cells[4].strip());
    }
}
