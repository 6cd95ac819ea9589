/**
 * Counters, gauges and distributions, sent to StatsD in batches by UDP. A lost datagram loses only its samples: no request waits for
 * a metric. Every name is defined here once, so that a dashboard can be checked against this file.
 *
 * @module
 */

import { StatsD } from "hot-shots";

export type CounterName =
    | "entry.requests" | "entry.delivered" | "entry.late" | "entry.refused" | "entry.failed" | "entry.unknown"
    | "entry.attempts" | "entry.retries" | "entry.resumes" | "entry.continuations" | "entry.detached"
    | "entry.late_events" | "entry.duplicate_events" | "entry.gaps"
    | "sidecar.runs" | "sidecar.crashes"
    /** Events counted by the membership reducers; the tag `code` names the event. */
    | "sidecar.membership"
    | "control.changes"
    /** Exceptions that ended one request. */
    | "process.exceptions";

export type GaugeName =
    | "entry.running" | "sidecar.running"
    | "control.replicas" | "control.replica_downtime_ms" | "control.stranded_vm_ms" | "control.lease_holders"
    | "control.configuration_version" | "control.in_force_version"
    | "process.resident_bytes";

export type DistributionName =
    | "entry.queue_ms" | "entry.first_token_ms" | "entry.answer_ms" | "sidecar.first_token_ms";

/** The tags of a sample. Request ids and keys are excluded, because each value would create its own time series. */
export interface MetricTags {
    readonly organisation?: string;
    readonly serviceClass?: string;
    readonly service?: string;
    readonly dataCentre?: string;
    readonly code?: string;
    readonly execution?: "not-run" | "ran" | "unknown";
}

export interface Metrics {
    count(name: CounterName, tags?: MetricTags, amount?: number): void;
    gauge(name: GaugeName, value: number, tags?: MetricTags): void;
    distribution(name: DistributionName, value: number, tags?: MetricTags): void;
    /** Sends buffered samples and closes the socket; resolves even if the receiver is gone. */
    close(): Promise<void>;
}

/** Fits into one datagram on an Ethernet path. */
const maxDatagramBytes = 1_400;
/** Batches the samples of one second, to stay well below 4 KB/s of control traffic per daemon. */
const flushIntervalMs = 1_000;

class StatsdMetrics implements Metrics {
    constructor(private readonly client: StatsD) {}

    count(name: CounterName, tags: MetricTags = {}, amount = 1) {
        this.client.increment(name, amount, { ...tags });
    }

    gauge(name: GaugeName, value: number, tags: MetricTags = {}) {
        this.client.gauge(name, value, { ...tags });
    }

    distribution(name: DistributionName, value: number, tags: MetricTags = {}) {
        this.client.distribution(name, value, { ...tags });
    }

    close(): Promise<void> {
        return new Promise(resolve => this.client.close(() => resolve()));
    }
}

/** Discards all samples. The mock mode of hot-shots is unsuitable: it keeps every sample, so memory would grow without bound. */
class NoopMetrics implements Metrics {
    count() {}
    gauge() {}
    distribution() {}

    async close() {}
}

/** Creates metrics that are sent to `statsd` ("host:port"), or discarded if it is unset. Socket errors are ignored. */
export function createMetrics(statsd: string | undefined, daemonId: string): Metrics {
    if (statsd === undefined) {
        return new NoopMetrics();
    }
    const colon = statsd.lastIndexOf(":");
    return new StatsdMetrics(new StatsD({
        host: statsd.slice(0, colon),
        port: Number(statsd.slice(colon + 1)),
        prefix: "zinnialanding.",
        globalTags: { daemon: daemonId },
        maxBufferSize: maxDatagramBytes,
        bufferFlushInterval: flushIntervalMs,
        errorHandler() {},
    }));
}
