/** Requests between cells over gRPC, with JSON payloads. These classes are loaded only if a features file enables the federation. */
package org.dunespindle.federation.grpc;
