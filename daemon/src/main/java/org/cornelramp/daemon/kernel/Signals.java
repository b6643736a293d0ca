package org.cornelramp.daemon.kernel;

import java.lang.reflect.Proxy;
import java.util.List;

/**
 * Installs handlers of operating system signals in place of those of the virtual machine.
 *
 * <p>A shutdown hook is not enough: while it runs, the virtual machine ignores a second signal, so an operator could
 * not end a drain that takes too long. The only other interface of the platform is {@code sun.misc.Signal}, which is
 * called by reflection because the compiler warns about it. Stateless, safe for use by any thread.
 */
public final class Signals {
    private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");

    private Signals() {}

    /** Calls the handler on each stop signal, on a thread of the virtual machine. */
    public static void onStop(Runnable handler) throws ReflectiveOperationException {
        install(STOP_SIGNALS, handler);
    }

    /**
     * Calls the handler on SIGHUP, which an operator sends after changing the settings file; without a handler the
     * signal would end the process.
     */
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
            Object signalInstance = signal.getConstructor(String.class).newInstance(name);
            signal.getMethod("handle", signal, type).invoke(null, signalInstance, proxy);
        }
    }
}
