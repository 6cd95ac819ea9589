export { type Engines } from "./groupLeader.js";
export { type ProbeResult } from "./prober.js";
export { createSiteControl, type PublishOutcome, type SiteControl, type SiteControlOptions } from "./siteControl.js";
