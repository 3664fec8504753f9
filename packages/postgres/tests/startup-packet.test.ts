import { describe, expect, it } from "vitest";
import { startupSettings } from "../src/index.js";

describe("startupSettings", () => {
    it("takes settings from options and from plain parameters", () => {
        // Guards against a session token that is lost because a driver passes it the other way.
        const settings = startupSettings(
            new Map([
                ["user", "u"],
                ["options", "-c medlarledge.session=a=b\\ c -cwork_mem=1 --Search-Path=x -c"],
                ["medlarledge.request_key", "k"],
            ]),
        );
        expect(Object.fromEntries(settings)).toEqual({
            "medlarledge.session": "a=b c",
            "work_mem": "1",
            "search_path": "x",
            "medlarledge.request_key": "k",
        });
    });
});
