export { type AnnouncementOutcome } from "./announcementCheck.js";
export { type EngineAnswer, type EngineClient } from "./groupLeader.js";
export { type ProbeResult } from "./prober.js";
export { createDisklessControl, type DisklessControl } from "./disklessControl.js";
export { createSiteControl } from "./siteControl.js";
export type { EvacuationOutcome } from "./evacuations.js";
export type { PublishOutcome, SiteControl, SiteControlOptions } from "./siteControlTypes.js";
export { type EngineReport, type InquiryAnswer, type UpstreamInquirer } from "./restoration.js";
export { noHints, readHints } from "./upstreamHints.js";
