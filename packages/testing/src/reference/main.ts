import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { REFERENCE_FOLDER, referencePages } from "./pages.js";

mkdirSync(REFERENCE_FOLDER, { recursive: true });
for (const [file, text] of referencePages(".")) {
    writeFileSync(join(REFERENCE_FOLDER, file), text);
}
