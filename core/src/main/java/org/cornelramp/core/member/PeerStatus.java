package org.cornelramp.core.member;

/**
 * The last status received from a peer of the same data centre. Immutable, safe for use by any thread.
 *
 * @param gateway name of the peer
 * @param status what it reported
 * @param ageMillis time since it was received
 */
public record PeerStatus(String gateway, GatewayStatus status, long ageMillis) {}
