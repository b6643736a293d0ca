package org.cornelramp.daemon.kernel;

import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Hands signals to the program instead of to the virtual machine.
 *
 * <p>A shutdown hook hears only the first signal: while it runs, the virtual machine ignores the second, and an
 * operator could not end a drain that takes too long. The platform's only other interface is {@code sun.misc.Signal},
 * reached by reflection because the compiler warns of it. Stateless, safe for use by any thread.
 */
public final class Signals {
    private static final List<String> STOP = List.of("TERM", "INT");

    private Signals() {}

    /** Calls the handler on each stop signal, on a thread of the virtual machine. */
    public static void onStop(Runnable handler) throws ReflectiveOperationException {
        install(STOP, handler);
    }

    /** Calls the handler when the settings file has changed; without one the signal would end the process. */
    public static void onReload(Runnable handler) throws ReflectiveOperationException {
        install(List.of("HUP"), handler);
    }

    private static void install(List<String> names, Runnable handler) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> type = Class.forName("sun.misc.SignalHandler");
        Object proxy = Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (self, method, args) -> {
            if (method.getName().equals("handle")) {
                handler.run();
            }
            return null;
        });
        for (String name : names) {
            Object one = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, type).invoke(null, one, proxy);
        }
    }
}
