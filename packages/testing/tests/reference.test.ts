import { OPERATOR_PAGES } from "@medlarledge/control";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { REFERENCE_FOLDER, referencePages } from "../src/reference/pages.js";

const ROOT = fileURLToPath(new URL("../../..", import.meta.url));
const OPERATORS = "docs/operators";

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

describe("operators' pages", () => {
    it.each(Object.values(OPERATOR_PAGES))("%s exists, so that a problem's page can be read", page => {
        expect(existsSync(join(ROOT, page))).toBe(true);
    });

    it("are all named by the index", () => {
        const index = readFileSync(join(ROOT, OPERATORS, "README.md"), "utf8");
        const files = readdirSync(join(ROOT, OPERATORS)).filter(file => file !== "README.md");
        expect(files.filter(file => !index.includes(`(${file})`))).toEqual([]);
    });

    it.each(["README.md", ...pagesIn(OPERATORS), ...pagesIn(REFERENCE_FOLDER)])("%s has no dead link", page => {
        const text = readFileSync(join(ROOT, page), "utf8");
        const targets = [...text.matchAll(/\]\((?!https?:)([^)#]+)/g)].map(([, target = ""]) => target);
        expect(targets.filter(target => !existsSync(join(ROOT, dirname(page), target)))).toEqual([]);
    });
});

function pagesIn(folder: string): readonly string[] {
    return readdirSync(join(ROOT, folder)).map(file => `${folder}/${file}`);
}
