package org.cornelramp.core.operate;

/**
 * Why a gateway can't explain a decision. Immutable, safe for use by any thread.
 *
 * @param error what is wrong
 * @param remedy what the operator can do
 */
public record RouteExplanationError(String error, String remedy) {}
