/** Requests between cells over gRPC, with JSON payloads. Nothing here is loaded unless a features file switches the federation on. */
package org.dunespindle.federation.grpc;
