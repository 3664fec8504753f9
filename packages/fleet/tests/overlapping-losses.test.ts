import { test, vi } from "vitest";
import { OverlappingLosses } from "./overlapping-losses.js";

// The library of event streams keeps the clock that it finds when it is loaded.
vi.hoisted(() => vi.useFakeTimers());

const FIRST_SEED = Number(process.env["LOSSES_SEED"] ?? 1);
const COUNT = Number(process.env["LOSSES_COUNT"] ?? 12);
const ROUNDS = 4;

const seeds = Array.from({ length: COUNT }, (_, index) => FIRST_SEED + index);

// Guards against an acknowledged change that is gone, and a group without a quorum, when as many disks as are tolerated
// are lost while other hosts are down or replaced (CONFIG; review/11 and review/12). More: LOSSES_SEED, LOSSES_COUNT.
test.each(seeds)(
    "lost disks beside hosts that are down or replaced lose no acknowledged change, seed %i",
    async seed => {
        await new OverlappingLosses(seed).run(ROUNDS);
    },
    60_000,
);
