/** Tests of gRPC requests between cells, over real sockets. */
package org.dunespindle.federation.grpc;
