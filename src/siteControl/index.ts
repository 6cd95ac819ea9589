export { type ProbeResult } from "./prober.js";
export { createSiteControl, type Engines, type PublishOutcome, type SiteControl, type SiteControlOptions } from "./siteControl.js";
