export { createLogger, type Logger } from "./logger.js";
export { createMetrics, type CounterName, type DistributionName, type GaugeName, type Metrics, type MetricTags } from "./metrics.js";
export { redact, redactText } from "./redact.js";
export { type SpanRecord, spanRecordSchema } from "./spanRecord.js";
export { createTracing, type TraceSpan, type TraceSpanAttributes, type TraceSpanName, type Tracing } from "./tracing.js";
export { type BoundedOutput, createBoundedOutput } from "./boundedOutput.js";
export { createSiteMetrics, type ExceptionCost, type SiteMetrics } from "./exposition.js";
export { createExceptionLog, type ExceptionLog, logFatalException } from "./exceptions.js";
export { createRefusedInputs, type InputKind, type RefusedInputs } from "./refusedInputs.js";
