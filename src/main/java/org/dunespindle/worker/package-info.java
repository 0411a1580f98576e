/**
 * Communication with the workers on machines. {@link org.dunespindle.worker.HeartbeatHandler} answers their heartbeats,
 * {@link org.dunespindle.worker.WorkerClient} reconciles their machines and sends them commands, and
 * {@link org.dunespindle.worker.FailureDetector} and {@link org.dunespindle.worker.PartitionDetector} distinguish failed
 * machines from network partitions.
 */
package org.dunespindle.worker;
