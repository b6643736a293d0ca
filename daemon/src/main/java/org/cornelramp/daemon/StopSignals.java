package org.cornelramp.daemon;

import java.lang.reflect.Proxy;

/**
 * Hands stop signals to the program instead of to the virtual machine.
 *
 * <p>A shutdown hook hears only the first signal: while it runs, the virtual machine ignores the second, and an
 * operator could not end a drain that takes too long. The platform's only other interface is {@code sun.misc.Signal},
 * reached by reflection because the compiler warns of it. Stateless, safe for use by any thread.
 */
final class StopSignals {
    private static final String[] NAMES = {"TERM", "INT"};

    private StopSignals() {}

    /** Calls the handler on each stop signal, on a thread of the virtual machine. */
    static void install(Runnable handler) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> type = Class.forName("sun.misc.SignalHandler");
        Object proxy = Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (self, method, args) -> {
            if (method.getName().equals("handle")) {
                handler.run();
            }
            return null;
        });
        for (String name : NAMES) {
            Object one = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, type).invoke(null, one, proxy);
        }
    }
}
