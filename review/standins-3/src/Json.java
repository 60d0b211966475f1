import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers and booleans, and writes strings. */
final class Json {
    private final String mText;
    private int mAt;

    private Json(String text) {
        mText = text;
    }

    /** Parses an object; returns an empty map if the text is not one. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        try {
            Object value = new Json(text).value();
            return value instanceof Map ? (Map<String, Object>) value : Map.of();
        } catch (RuntimeException e) {
            return Map.of();
        }
    }

    static long number(Map<String, Object> object, String name, long defaultValue) {
        return object.get(name) instanceof Number number ? number.longValue() : defaultValue;
    }

    static String text(Map<String, Object> object, String name) {
        return object.get(name) instanceof String text ? text : "";
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private char peek() {
        while (Character.isWhitespace(mText.charAt(mAt))) {
            mAt++;
        }
        return mText.charAt(mAt);
    }

    private Object value() {
        char c = peek();
        if (c == '{') {
            return readObject();
        }
        if (c == '[') {
            return readArray();
        }
        if (c == '"') {
            return readString();
        }
        int start = mAt;
        while (mAt < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mAt)) < 0) {
            mAt++;
        }
        String word = mText.substring(start, mAt);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> "";
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> readObject() {
        Map<String, Object> object = new LinkedHashMap<>();
        mAt++;
        while (peek() != '}') {
            String name = readString();
            peek();
            mAt++;
            object.put(name, value());
            if (peek() == ',') {
                mAt++;
                peek();
            }
        }
        mAt++;
        return object;
    }

    private List<Object> readArray() {
        List<Object> array = new ArrayList<>();
        mAt++;
        while (peek() != ']') {
            array.add(value());
            if (peek() == ',') {
                mAt++;
            }
        }
        mAt++;
        return array;
    }

    private String readString() {
        StringBuilder text = new StringBuilder();
        mAt++;
        while (mText.charAt(mAt) != '"') {
            char c = mText.charAt(mAt++);
            if (c == '\\') {
                char escaped = mText.charAt(mAt++);
                switch (escaped) {
                    case 'n' -> text.append('\n');
                    case 't' -> text.append('\t');
                    case 'u' -> {
                        text.append((char) Integer.parseInt(mText.substring(mAt, mAt + 4), 16));
                        mAt += 4;
                    }
                    default -> text.append(escaped);
                }
            } else {
                text.append(c);
            }
        }
        mAt++;
        return text.toString();
    }
}
