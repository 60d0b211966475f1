package org.hickorycleat.daemon.transport;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageTypeException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes records as MessagePack arrays of their components in order, and decodes them.
 *
 * <p>A record with one component, such as an identifier, is encoded as the bare component; an enum
 * as its ordinal; an {@link Optional} as its value or nil.
 */
public final class RecordCodec {
    private final Map<Type, ValueCodec> mCodecs = new ConcurrentHashMap<>();

    /** Writes a value of the given type. */
    public void write(MessagePacker packer, Type type, Object value) throws IOException {
        codec(type).write(packer, value);
    }

    /** Reads a value of the given type. */
    public Object read(MessageUnpacker unpacker, Type type) throws IOException {
        return codec(type).read(unpacker);
    }

    private ValueCodec codec(Type type) {
        ValueCodec cached = mCodecs.get(type);
        if (cached != null) {
            return cached;
        }
        ValueCodec created = create(type);
        mCodecs.put(type, created);
        return created;
    }

    private ValueCodec create(Type type) {
        if (type instanceof ParameterizedType parameterized) {
            ValueCodec element = codec(parameterized.getActualTypeArguments()[0]);
            return parameterized.getRawType() == Optional.class
                    ? optionalCodec(element)
                    : listCodec(element);
        }
        Class<?> raw = (Class<?>) type;
        if (raw.isRecord()) {
            return recordCodec(raw);
        }
        if (raw.isEnum()) {
            return enumCodec(raw);
        }
        return simpleCodec(raw);
    }

    private static ValueCodec simpleCodec(Class<?> type) {
        if (type == int.class || type == Integer.class) {
            return ValueCodec.of(
                    (packer, value) -> packer.packInt((int) value), MessageUnpacker::unpackInt);
        }
        if (type == long.class || type == Long.class) {
            return ValueCodec.of(
                    (packer, value) -> packer.packLong((long) value), MessageUnpacker::unpackLong);
        }
        if (type == double.class || type == Double.class) {
            return ValueCodec.of(
                    (packer, value) -> packer.packDouble((double) value),
                    MessageUnpacker::unpackDouble);
        }
        if (type == boolean.class || type == Boolean.class) {
            return ValueCodec.of(
                    (packer, value) -> packer.packBoolean((boolean) value),
                    MessageUnpacker::unpackBoolean);
        }
        if (type == String.class) {
            return ValueCodec.of(
                    (packer, value) -> packer.packString((String) value),
                    MessageUnpacker::unpackString);
        }
        if (type == byte[].class) {
            return ValueCodec.of(RecordCodec::writeBytes, RecordCodec::readBytes);
        }
        throw new IllegalArgumentException("no codec for " + type);
    }

    private static void writeBytes(MessagePacker packer, Object value) throws IOException {
        byte[] bytes = (byte[]) value;
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    private static Object readBytes(MessageUnpacker unpacker) throws IOException {
        return unpacker.readPayload(checkedLength(unpacker.unpackBinaryHeader()));
    }

    private static ValueCodec optionalCodec(ValueCodec element) {
        return ValueCodec.of(
                (packer, value) -> {
                    Optional<?> optional = (Optional<?>) value;
                    if (optional.isPresent()) {
                        element.write(packer, optional.get());
                    } else {
                        packer.packNil();
                    }
                },
                unpacker ->
                        unpacker.tryUnpackNil()
                                ? Optional.empty()
                                : Optional.of(element.read(unpacker)));
    }

    private static ValueCodec listCodec(ValueCodec element) {
        return ValueCodec.of(
                (packer, value) -> {
                    List<?> list = (List<?>) value;
                    packer.packArrayHeader(list.size());
                    for (Object item : list) {
                        element.write(packer, item);
                    }
                },
                unpacker -> {
                    int size = checkedLength(unpacker.unpackArrayHeader());
                    // The list grows with the elements that arrive: a forged header must not
                    // allocate memory.
                    List<Object> list = new ArrayList<>();
                    for (int i = 0; i < size; i++) {
                        list.add(element.read(unpacker));
                    }
                    return list;
                });
    }

    // New constants are only appended, so ordinals are stable on the wire, and they are short.
    @SuppressWarnings("EnumOrdinal")
    private static ValueCodec enumCodec(Class<?> type) {
        Object[] constants = type.getEnumConstants();
        return ValueCodec.of(
                (packer, value) -> packer.packInt(((Enum<?>) value).ordinal()),
                unpacker -> {
                    int ordinal = unpacker.unpackInt();
                    if (ordinal < 0 || ordinal >= constants.length) {
                        throw new MessageTypeException("enum ordinal out of range: " + ordinal);
                    }
                    return constants[ordinal];
                });
    }

    private ValueCodec recordCodec(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        ValueCodec[] codecs = new ValueCodec[components.length];
        Method[] accessors = new Method[components.length];
        Constructor<?> constructor = constructor(type, components);
        for (int i = 0; i < components.length; i++) {
            codecs[i] = codec(components[i].getGenericType());
            accessors[i] = components[i].getAccessor();
        }
        boolean bare = components.length == 1;
        return ValueCodec.of(
                (packer, value) -> {
                    if (!bare) {
                        packer.packArrayHeader(codecs.length);
                    }
                    for (int i = 0; i < codecs.length; i++) {
                        codecs[i].write(packer, invokeAccessor(accessors[i], value));
                    }
                },
                unpacker -> {
                    if (!bare && unpacker.unpackArrayHeader() != codecs.length) {
                        throw new MessageTypeException("wrong number of record components");
                    }
                    Object[] values = new Object[codecs.length];
                    for (int i = 0; i < codecs.length; i++) {
                        values[i] = codecs[i].read(unpacker);
                    }
                    return invokeConstructor(constructor, values);
                });
    }

    // Reflection instead of method handles: each new shape of a method handle is compiled to a
    // class at run time, which takes a tenth of the start of a process.
    private static Constructor<?> constructor(Class<?> type, RecordComponent[] components) {
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            return type.getConstructor(types);
        } catch (NoSuchMethodException e) {
            throw new IllegalArgumentException("no constructor for " + type, e);
        }
    }

    private static Object invokeAccessor(Method accessor, Object value) {
        try {
            return accessor.invoke(value);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("record accessor failed", e);
        }
    }

    private static Object invokeConstructor(Constructor<?> constructor, Object[] values) {
        try {
            return constructor.newInstance(values);
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof RuntimeException rejection) {
                throw rejection;
            }
            throw new IllegalStateException("record constructor failed", e);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("record constructor failed", e);
        }
    }

    private static int checkedLength(int length) {
        if (length > MessageCodec.MAXIMUM_FRAME_BYTES) {
            throw new MessageTypeException("length out of range: " + length);
        }
        return length;
    }
}
