export { createSidecar, type Sidecar, type SidecarOptions } from "./sidecar.js";
