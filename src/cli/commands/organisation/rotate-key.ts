import { Args, Flags } from "@oclif/core";
import { configurationViewSchema } from "../../api.js";
import { ChangeCommand } from "../../baseCommand.js";
import { RefusedError } from "../../errors.js";
import { hashKey, readOrCreateKey } from "../../keys.js";

/** Gives an organisation a new key. */
export default class OrganisationRotateKey extends ChangeCommand {
    static override summary = "Give an organisation a new key and show it, once. The previous key stays valid unless --now is given.";
    static override examples = [
        "<%= config.bin %> organisation rotate-key studio-maipu",
        "<%= config.bin %> organisation rotate-key studio-maipu --now",
    ];

    static override args = { name: Args.string({ description: "organisation", required: true }) };
    static override flags = {
        now: Flags.boolean({ description: "revoke all earlier keys immediately" }),
        "key-file": Flags.string({ description: "file for the key; an existing file is read, so that a resend sends the same key" }),
    };

    async run() {
        const { args, flags } = await this.parse(OrganisationRotateKey);
        const key = readOrCreateKey(flags["key-file"]);
        const hash = hashKey(key);
        const report = await this.withClient(flags, async client => {
            const view = await client.get("/v1/configuration", configurationViewSchema);
            const organisation = view.configuration.organisations.find(item => item.name === args.name);
            if (organisation === undefined) {
                throw new RefusedError(`no organisation ${args.name}`, "unknown-organisation");
            }
            const keptHashes = organisation.keyHashes.filter(item => item !== hash).slice(-1);
            const keyHashes = flags.now ? [hash] : [...keptHashes, hash];
            return this.change(client, flags, view.version, [{ kind: "set-organisation", organisation: { ...organisation, keyHashes } }]);
        });
        this.log(`key: ${key}`);
        return { ...report, key };
    }
}
