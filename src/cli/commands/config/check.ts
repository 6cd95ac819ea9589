import { Args } from "@oclif/core";
import { checkConfiguration, checkSettings, type Finding, isConfigurationText, readText } from "../../../config/index.js";
import { ZinniaCommand } from "../../baseCommand.js";
import { FindingsError } from "../../errors.js";

function checkFile(file: string): readonly Finding[] {
    const text = readText(file);
    if (text.value === undefined) {
        return text.findings;
    }
    if (isConfigurationText(text.value)) {
        return checkConfiguration(file, text.value).findings ?? [];
    }
    const loaded = checkSettings(file, text.value);
    return "findings" in loaded ? loaded.findings : [];
}

/** Checks local files without contacting a daemon. */
export default class ConfigCheck extends ZinniaCommand {
    static override summary = "Check settings files and configuration files, and report every problem.";
    static override examples = ["<%= config.bin %> config check samples/cielo-austral/*.ini"];
    static override strict = false;
    static override args = { file: Args.string({ description: "files to check", required: true }) };

    async run() {
        const { argv } = await this.parse(ConfigCheck);
        const files = argv as string[];
        const findings = files.flatMap(checkFile);
        if (findings.length > 0) {
            throw new FindingsError(findings);
        }
        this.log(files.map(file => `${file}: no findings`).join("\n"));
        return { files, findings };
    }
}
