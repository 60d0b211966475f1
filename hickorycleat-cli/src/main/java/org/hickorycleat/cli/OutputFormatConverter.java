package org.hickorycleat.cli;

import java.util.Locale;
import joptsimple.ValueConversionException;
import joptsimple.ValueConverter;

/** Converts the argument of {@code --output}. */
final class OutputFormatConverter implements ValueConverter<OutputFormat> {
    @Override
    public OutputFormat convert(String value) {
        for (OutputFormat format : OutputFormat.values()) {
            if (format.name().toLowerCase(Locale.ROOT).equals(value)) {
                return format;
            }
        }
        throw new ValueConversionException("--output is neither json nor text: " + value);
    }

    @Override
    public Class<OutputFormat> valueType() {
        return OutputFormat.class;
    }

    @Override
    public String valuePattern() {
        return "json|text";
    }
}
