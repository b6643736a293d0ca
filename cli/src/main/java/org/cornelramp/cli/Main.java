package org.cornelramp.cli;

/** The operators' command line. */
public final class Main {
    private Main() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.out.println("cornelramp");
    }
}
