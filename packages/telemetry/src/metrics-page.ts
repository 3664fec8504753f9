import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { type Meter, type MetricDefinition, type MetricName, METRICS, MetricType, type Tags } from "./metric.js";

/** Upper bounds of the counts of durations, in ms: from one round trip to the longest time-outs of routes. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/** Label sets of one metric; further ones are left out. Bounds the memory when names come from a configuration. */
const MAX_LABEL_SETS = 1_000;

type Instrument = Counter | Gauge | Histogram;

/** Measurements of one process, as text for a collector that fetches them. */
export class MetricsPage implements Meter {
    readonly #registry = new Registry();
    readonly #instruments = new Map<MetricName, Instrument>();
    readonly #labelSets = new Map<MetricName, Set<string>>();

    get contentType(): string {
        return this.#registry.contentType;
    }

    count(name: MetricName, value: number, tags: Tags = {}): void {
        const instrument = this.#instrument(name, tags);
        if (instrument instanceof Counter) {
            instrument.inc({ ...tags }, value);
        }
    }

    gauge(name: MetricName, value: number, tags: Tags = {}): void {
        const instrument = this.#instrument(name, tags);
        if (instrument instanceof Gauge) {
            instrument.set({ ...tags }, value);
        }
    }

    timing(name: MetricName, milliseconds: number, tags: Tags = {}): void {
        const instrument = this.#instrument(name, tags);
        if (instrument instanceof Histogram) {
            instrument.observe({ ...tags }, milliseconds);
        }
    }

    clear(name: MetricName): void {
        this.#instruments.get(name)?.reset();
        this.#labelSets.delete(name);
    }

    text(): Promise<string> {
        return this.#registry.metrics();
    }

    /** Returns undefined when the metric has too many label sets. */
    #instrument(name: MetricName, tags: Tags): Instrument | undefined {
        const labelSets = this.#labelSets.get(name) ?? new Set();
        this.#labelSets.set(name, labelSets);
        const key = Object.values(tags).join(" ");
        if (!labelSets.has(key) && labelSets.size >= MAX_LABEL_SETS) {
            return undefined;
        }
        labelSets.add(key);
        const known = this.#instruments.get(name) ?? this.#create(name, METRICS[name]);
        this.#instruments.set(name, known);
        return known;
    }

    #create(name: MetricName, { type, tags, meaning }: MetricDefinition): Instrument {
        const options = {
            name: `medlarledge_${name.replaceAll(".", "_")}`,
            help: meaning,
            labelNames: [...tags],
            registers: [this.#registry],
        };
        switch (type) {
            case MetricType.Counter:
                return new Counter({ ...options, name: `${options.name}_total` });
            case MetricType.Gauge:
                return new Gauge(options);
            case MetricType.Timing:
                return new Histogram({ ...options, name: `${options.name}_ms`, buckets: BUCKETS_MS });
        }
    }
}
