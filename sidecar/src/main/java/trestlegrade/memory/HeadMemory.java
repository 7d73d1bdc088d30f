package trestlegrade.memory;

import java.util.Map;

/** Estimates the heap that parsed heads hold, which is many times their text where fields are short. */
public final class HeadMemory {
    /** The objects of a message without fields. */
    public static final int MESSAGE_BYTES = 512;
    /** The entry of a field with the objects of its name and its value, without their text. */
    public static final int FIELD_BYTES = 144;
    /** The entry of a field in a copy of the fields, with the name as text, which the first reader of it creates. */
    public static final int COPIED_FIELD_BYTES = 96;

    private HeadMemory() {}

    /** Returns the heap, in bytes, of a message with this target and these fields. */
    public static long of(String target, Iterable<Map.Entry<String, String>> fields) {
        return MESSAGE_BYTES + target.length() + ofFields(fields, FIELD_BYTES);
    }

    /** Returns the heap, in bytes, of a message with this target and these fields, and of a copy of the fields. */
    public static long withCopy(String target, Iterable<Map.Entry<String, String>> fields) {
        return MESSAGE_BYTES + target.length() + ofFields(fields, FIELD_BYTES + COPIED_FIELD_BYTES);
    }

    /** Returns the heap, in bytes, of fields without a message, such as those of a trailer. */
    public static long ofFields(Iterable<Map.Entry<String, String>> fields) {
        return ofFields(fields, FIELD_BYTES);
    }

    /** Returns the heap, in bytes, of fields that each need the given bytes in addition to their text. */
    private static long ofFields(Iterable<Map.Entry<String, String>> fields, int bytesPerField) {
        long bytes = 0;
        for (Map.Entry<String, String> field : fields) {
            bytes += bytesPerField + field.getKey().length() + field.getValue().length();
        }
        return bytes;
    }
}
