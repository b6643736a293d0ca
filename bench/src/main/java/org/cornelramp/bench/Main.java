package org.cornelramp.bench;

/** Load tool, benchmarks and the randomised runs. */
public final class Main {
    private Main() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.out.println("cornelramp");
    }
}
