import { failover } from "./failover.js";
import type { Measure } from "./measure.js";

/** All measures, the most important first. */
export const MEASURES: readonly Measure[] = [failover];
