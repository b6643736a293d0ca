package org.cornelramp.daemon;

/** The daemon. */
public final class Main {
    private Main() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.out.println("cornelramp");
    }
}
