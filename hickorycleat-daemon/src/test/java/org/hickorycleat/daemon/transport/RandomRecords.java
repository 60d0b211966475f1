package org.hickorycleat.daemon.transport;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/** Creates records with random components for round-trip tests. */
final class RandomRecords {
    private static final int LENGTH_BOUND = 4;
    private static final int NUMBER_BOUND = 100_000;

    private final Random mRandom;

    RandomRecords(Random random) {
        mRandom = random;
    }

    Object next(Type type) {
        if (type instanceof ParameterizedType parameterized) {
            return nextContainer(parameterized);
        }
        Class<?> raw = (Class<?>) type;
        if (raw.isRecord()) {
            return nextRecord(raw);
        }
        if (raw.isEnum()) {
            Object[] constants = raw.getEnumConstants();
            return constants[mRandom.nextInt(constants.length)];
        }
        return nextSimple(raw);
    }

    private Object nextContainer(ParameterizedType type) {
        Type element = type.getActualTypeArguments()[0];
        if (type.getRawType() == Optional.class) {
            return mRandom.nextBoolean() ? Optional.of(next(element)) : Optional.empty();
        }
        List<Object> list = new ArrayList<>();
        for (int i = mRandom.nextInt(LENGTH_BOUND); i > 0; i--) {
            list.add(next(element));
        }
        return list;
    }

    private Object nextRecord(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        Object[] values =
                Arrays.stream(components)
                        .map(component -> next(component.getGenericType()))
                        .toArray();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            return type.getConstructor(types).newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new LinkageError(e.getMessage(), e);
        }
    }

    private Object nextSimple(Class<?> type) {
        if (type == int.class || type == Integer.class) {
            return 1 + mRandom.nextInt(NUMBER_BOUND);
        }
        if (type == long.class || type == Long.class) {
            return 1L + mRandom.nextInt(NUMBER_BOUND);
        }
        if (type == boolean.class) {
            return mRandom.nextBoolean();
        }
        if (type == String.class) {
            return "text-" + mRandom.nextInt(NUMBER_BOUND);
        }
        byte[] bytes = new byte[mRandom.nextInt(LENGTH_BOUND)];
        mRandom.nextBytes(bytes);
        return bytes;
    }
}
