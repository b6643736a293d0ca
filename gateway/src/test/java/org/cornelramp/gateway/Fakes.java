package org.cornelramp.gateway;

import java.lang.reflect.Proxy;

/** Creates objects of an interface whose calls a test answers. Stateless. */
public final class Fakes {
    private Fakes() {}

    /** Answers the calls of a fake; null where the result does not matter. */
    public interface Call {
        Object answer(String method, Object[] args);
    }

    /** An object of the type. */
    public static <T> T of(Class<T> type, Call call) {
        Object made = Proxy.newProxyInstance(
                type.getClassLoader(),
                new Class<?>[] {type},
                (self, method, args) -> call.answer(method.getName(), args));
        return type.cast(made);
    }
}
