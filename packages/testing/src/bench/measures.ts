import { configuration } from "./configuration.js";
import { drain } from "./drain.js";
import { failover } from "./failover.js";
import { falsePromotions } from "./false-promotions.js";
import { leaving } from "./leaving.js";
import type { Measure } from "./measure.js";
import { memory } from "./memory.js";
import { oldPrimary } from "./old-primary.js";
import { startup } from "./startup.js";
import { throughput } from "./throughput.js";

/** All measures, the most important first. */
export const MEASURES: readonly Measure[] = [
    failover,
    oldPrimary,
    configuration,
    throughput,
    drain,
    leaving,
    falsePromotions,
    memory,
    startup,
];
