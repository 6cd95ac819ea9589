/**
 * The metrics of a site's daemons in the Prometheus text format. Every metric name is defined here once.
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { InputKind } from "./refusedInputs.js";

export interface SiteMetrics {
    /** Records a request that ended, by route and outcome. */
    recordRequest(route: string, outcome: string, tookMs: number, firstMs: number | undefined): void;
    /** Counts an attempt that ended without an answer, by whether the request ran: `not-run`, `unknown` or `ran-failed`. */
    recordAttemptWithoutAnswer(ending: string): void;
    /** Counts a request refused before an upstream was chosen, by status. */
    recordRefusal(status: number): void;
    /** Counts a request that arrived or was cut off while the entry was stopping. */
    recordStoppingRequest(labels: { readonly listener: string; readonly connection: string; readonly outcome: string }): void;
    /**
     * Records a decision on a stream that asked for room at a group, by route and outcome: `sent`, `sent-late`, `refused` or `left`. A
     * refusal is also counted by its cause and the priority of the request.
     */
    recordAdmission(decision: AdmissionSample): void;
    recordOrder(kind: string, outcome: string): void;
    /** Counts a report of this entry that carried its loads. */
    recordLoadReport(): void;
    /** Counts an exception that was contained, by what it cost: a `request`, a `frame` of the feed or a run of a periodic `task`. */
    recordException(cost: ExceptionCost): void;
    /** Counts inputs from outside that can't be used and were dropped. */
    recordRefusedInputs(kind: InputKind, count: number): void;
    /** Counts a new connection that was closed unread because the processor is saturated. */
    recordConnectionClosed(): void;
    /** Counts a pause of reading, a refusal or a cut-off because of the bytes held for callers and upstreams. */
    recordMemoryAction(action: string, reason: string): void;
    /** Registers the bytes held for callers and upstreams, by kind. */
    registerHeldBytes(read: () => ReadonlyMap<string, number>): void;
    /** Registers a gauge whose value is read on each scrape. */
    registerGauge(name: GaugeName, read: () => number): void;
    /** Registers a gauge with a value for each model; models that `read` no longer returns are dropped. */
    registerModelGauge(name: ModelGaugeName, read: () => ReadonlyMap<string, number>): void;
    /** Registers a gauge with a value for each organisation; organisations that `read` no longer returns are dropped. */
    registerOrganisationGauge(name: OrganisationGaugeName, read: () => ReadonlyMap<string, number>): void;
    text(): Promise<string>;
    readonly contentType: string;
}

/** What a contained exception costs; everything else goes on. */
export type ExceptionCost = "request" | "frame" | "task";

export interface AdmissionSample {
    readonly route: string;
    readonly outcome: string;
    readonly cause?: string;
    readonly priority: number;
    readonly waitedMs: number;
}

const gaugeHelp = {
    zinnialanding_requests_running: "Requests of callers that have no final answer yet.",
    zinnialanding_crash_causes: "Combinations of prompt parts that crash engines, whose requests are refused.",
    zinnialanding_connections_shedding: "1 while some new connections are closed unread because the processor is saturated, else 0.",
    zinnialanding_callers_held: "Callers held after a start until the site or the upstreams arrive.",
    zinnialanding_caller_connections: "Open connections of callers.",
    zinnialanding_caller_connections_unused: "Open connections of callers that have carried no request yet.",
    zinnialanding_upstream_connections: "Open connections to upstreams.",
    zinnialanding_log_index: "Index of the replicated log that this daemon acts on.",
    zinnialanding_log_age_seconds: "Time since a control daemon with a leader last confirmed the state that this entry acts on; NaN before.",
    zinnialanding_data_centres_evacuated: "Data centres that get no requests by the state that this daemon acts on.",
    zinnialanding_site_version: "Version of the site in force here.",
    zinnialanding_control_daemons_heard: "Control daemons from which something has come lately.",
    zinnialanding_settings_file_unusable: "1 while the settings file can't be used and earlier settings stay in force, else 0.",
    zinnialanding_log_lines_left_out: "Log lines left out because nobody read them.",
    zinnialanding_upstreams_limited: "Upstreams that state a limit on the requests that they take.",
    zinnialanding_upstreams_pushing_back: "Upstreams that have turned a request away and want none from here for a while.",
    zinnialanding_shared_loads_age_seconds: "Age of the view of all entries' requests at groups; NaN if there is none.",
    zinnialanding_held_bytes_bound: "Bound on the bytes held for callers and upstreams.",
    zinnialanding_term: "Term of the replicated log.",
    zinnialanding_voters: "Disks that vote, by the newest membership known here.",
    zinnialanding_voters_silent: "Voters that the leader has not heard within an election timeout; 0 at other daemons.",
    zinnialanding_leads: "1 while this daemon leads, else 0.",
    zinnialanding_upstreams_known: "Upstreams that have announced themselves and have not left.",
    zinnialanding_upstreams_lost: "Upstreams that answer nobody.",
    zinnialanding_groups_open: "Groups of engines that serve, by the control leader's plan.",
    zinnialanding_groups_forming: "Groups of engines that are coming together.",
    zinnialanding_groups_ending: "Groups of engines that are being ended.",
} as const;
export type GaugeName = keyof typeof gaugeHelp;

const modelGaugeHelp = {
    zinnialanding_model_groups_open: "Groups that serve a model, by the control leader's plan.",
    zinnialanding_model_vms: "VMs in groups of a model that serve or form.",
    zinnialanding_model_demand_vms: "VMs that the work of callers keeps busy, by model.",
    zinnialanding_model_on_time_limit: "Requests at a group of usual speed up to which a further one is on time, for the strictest route.",
    zinnialanding_model_first_event_difference_p50_ms: "Median of observed minus predicted times to the first event.",
    zinnialanding_model_first_event_difference_p75_ms: "Upper quartile of observed minus predicted times to the first event.",
    zinnialanding_model_highest_speed_factor: "Highest speed factor of a group; 2 is twice as slow as predicted.",
    zinnialanding_model_requests_waiting: "Streams that wait here for room at a group of the model.",
    zinnialanding_model_forecast_vms: "VMs that callers are forecast to keep busy, by model.",
    zinnialanding_model_forecast_error_vms: "Root mean square error of the forecast over the last seconds, in VMs, by model.",
} as const;
export type ModelGaugeName = keyof typeof modelGaugeHelp;

const organisationGaugeHelp = {
    zinnialanding_organisation_requests_waiting: "Streams of an organisation that wait here for room at a group.",
} as const;
export type OrganisationGaugeName = keyof typeof organisationGaugeHelp;

/** Organisations may set priorities without a bound; values above this one share a label. */
const maxPriorityLabel = 9;

/** Histogram bounds in seconds: latency targets are between 0.15 and 0.5, deadlines between 1 and 8. */
const bucketBoundsS = [0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8];

/** Creates the metrics of one daemon. */
export function createSiteMetrics(): SiteMetrics {
    const registry = new Registry();
    const registers = [registry];
    const requestCounter = new Counter({ name: "zinnialanding_requests_total", help: "Requests of callers that ended.", labelNames: ["route", "outcome"], registers });
    const requestSeconds = new Histogram({ name: "zinnialanding_request_seconds", help: "From arrival to the end of the answer.", labelNames: ["outcome"], buckets: bucketBoundsS, registers });
    const firstEventSeconds = new Histogram({ name: "zinnialanding_first_event_seconds", help: "From arrival to a stream's first event.", buckets: bucketBoundsS, registers });
    const attemptCounter = new Counter({ name: "zinnialanding_attempts_without_answer_total", help: "Attempts that brought no answer.", labelNames: ["ending"], registers });
    const refusalCounter = new Counter({ name: "zinnialanding_refused_early_total", help: "Requests refused before an upstream was chosen.", labelNames: ["status"], registers });
    const stoppingCounter = new Counter({ name: "zinnialanding_stopping_requests_total", help: "Requests that came or were cut off while the entry stops.", labelNames: ["listener", "connection", "outcome"], registers });
    const orderCounter = new Counter({ name: "zinnialanding_orders_total", help: "Orders to engines.", labelNames: ["kind", "outcome"], registers });
    const loadReportCounter = new Counter({ name: "zinnialanding_load_reports_total", help: "Reports that carried this entry's loads.", registers });
    const exceptionCounter = new Counter({ name: "zinnialanding_exceptions_total", help: "Exceptions that ended one request, frame or task.", labelNames: ["cost"], registers });
    const refusedInputCounter = new Counter({ name: "zinnialanding_inputs_refused_total", help: "Inputs from outside that can't be used and were dropped.", labelNames: ["kind"], registers });
    const closedConnectionCounter = new Counter({ name: "zinnialanding_connections_closed_unread_total", help: "New connections closed because the processor is saturated.", registers });
    const memoryCounter = new Counter({ name: "zinnialanding_memory_actions_total", help: "Pauses, refusals and cut-offs because of held bytes.", labelNames: ["action", "reason"], registers });
    const admissionSeconds = new Histogram({ name: "zinnialanding_admission_wait_seconds", help: "From arrival to the decision on a stream that asked for room.", labelNames: ["route", "outcome"], buckets: bucketBoundsS, registers });
    const admissionRefusals = new Counter({ name: "zinnialanding_admission_refused_total", help: "Streams refused for want of room.", labelNames: ["cause", "priority"], registers });

    /** Registers a gauge with a value for each value of one label. */
    function registerLabelled(name: string, help: string, label: string, read: () => ReadonlyMap<string, number>) {
        new Gauge({
            name, help, labelNames: [label], registers,
            collect() {
                this.reset();
                read().forEach((value, key) => this.set({ [label]: key }, value));
            },
        });
    }

    return {
        recordRequest(route, outcome, tookMs, firstMs) {
            requestCounter.inc({ route, outcome });
            requestSeconds.observe({ outcome }, tookMs / 1_000);
            if (firstMs !== undefined) {
                firstEventSeconds.observe(firstMs / 1_000);
            }
        },
        recordAttemptWithoutAnswer: ending => attemptCounter.inc({ ending }),
        recordRefusal: status => refusalCounter.inc({ status: String(status) }),
        recordStoppingRequest: labels => stoppingCounter.inc({ ...labels }),
        recordAdmission({ route, outcome, cause, priority, waitedMs }) {
            admissionSeconds.observe({ route, outcome }, waitedMs / 1_000);
            if (cause !== undefined) {
                admissionRefusals.inc({ cause, priority: String(Math.min(maxPriorityLabel, priority)) });
            }
        },
        recordOrder: (kind, outcome) => orderCounter.inc({ kind, outcome }),
        recordLoadReport: () => loadReportCounter.inc(),
        recordException: cost => exceptionCounter.inc({ cost }),
        recordRefusedInputs: (kind, count) => refusedInputCounter.inc({ kind }, count),
        recordConnectionClosed: () => closedConnectionCounter.inc(),
        recordMemoryAction: (action, reason) => memoryCounter.inc({ action, reason }),
        registerHeldBytes: read => registerLabelled("zinnialanding_held_bytes", "Bytes held for callers and upstreams.", "kind", read),
        registerGauge(name, read) {
            new Gauge({
                name, help: gaugeHelp[name], registers,
                collect() {
                    this.set(read());
                },
            });
        },
        registerModelGauge: (name, read) => registerLabelled(name, modelGaugeHelp[name], "model", read),
        registerOrganisationGauge: (name, read) => registerLabelled(name, organisationGaugeHelp[name], "organisation", read),
        text: () => registry.metrics(),
        contentType: registry.contentType,
    };
}
