import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { REFERENCE_FOLDER, referencePages } from "../src/reference/pages.js";

const ROOT = fileURLToPath(new URL("../../..", import.meta.url));

describe("reference pages", () => {
    it("are those that the sources give, so that no setting, code or event is missing or stale", () => {
        const expected = referencePages(ROOT);
        expect(readdirSync(join(ROOT, REFERENCE_FOLDER)).sort()).toEqual([...expected.keys()].sort());
        for (const [file, text] of expected) {
            const committed = readFileSync(join(ROOT, REFERENCE_FOLDER, file), "utf8");
            expect(committed, `${file}: run npm run reference`).toBe(text);
        }
    });
});
