export { checkConfiguration, formatConfiguration, isConfigurationText, type DeclaredConfiguration, mergeWithCurrent } from "./configurationFile.js";
export { type Checked, type Finding, formatFinding, sortFindings } from "./findings.js";
export { checkSettings, type LoadedSettings, loadSettings, readText } from "./load.js";
export { addressSchema, type Peer, type Role, roleSchema, type Settings, settingsSchema } from "./settings.js";
export { CertificateError, type Certificates, type CertificateStore, createCertificateStore } from "./tls.js";
export { createSettingsFile, type SettingsFile } from "./settingsFile.js";
export { loadSiteSettings, type SiteSettings } from "./siteSettings.js";
