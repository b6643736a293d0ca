package org.cornelramp.standins;

/** Small stand-ins for the platform, for tests and the demo only. */
public final class Main {
    private Main() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.out.println("cornelramp");
    }
}
