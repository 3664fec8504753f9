/** Reports of entry hosts expire after this time; a host repeats a report of an unreachable endpoint more often. */
export const MAX_REPORT_AGE_MS = 1_500;

/** What an entry host says of an endpoint that it takes for the primary, or that it was asked about. */
export interface MonitorReport {
    readonly endpoint: string;
    /** Latest term in which the host has seen the endpoint as the primary; 0 if it has not. */
    readonly term: number;
    readonly reachable: boolean;
}

interface ReceivedReport extends MonitorReport {
    readonly from: string;
    readonly at: number;
}

/** The last report of each entry host on each endpoint of a group. */
export class PrimaryReports {
    /** Reports by endpoint and host. */
    readonly #reports = new Map<string, Map<string, ReceivedReport>>();

    /**
     * Records a report, and forgets those on endpoints that have gone.
     * @param present ids of the endpoints of the group
     */
    received(from: string, report: MonitorReport, present: readonly string[], now: number): void {
        for (const [endpoint, reports] of this.#reports) {
            const isExpired = [...reports.values()].every(({ at }) => now - at > MAX_REPORT_AGE_MS);
            if (isExpired && !present.includes(endpoint)) {
                this.#reports.delete(endpoint);
            }
        }
        const reports = this.#reports.get(report.endpoint) ?? new Map<string, ReceivedReport>();
        this.#reports.set(report.endpoint, reports.set(from, { ...report, from, at: now }));
    }

    clear(): void {
        this.#reports.clear();
    }

    /** The endpoint that was seen as the primary of the newest term; undefined before any was. */
    get newestPrimary(): string | undefined {
        return this.#all().filter(({ term }) => term > 0).sort((left, right) => right.term - left.term)[0]?.endpoint;
    }

    /** The newest term of which a primary was seen; 0 before the first. */
    get newestTerm(): number {
        return Math.max(0, ...this.#all().map(({ term }) => term));
    }

    /** True when one of these hosts has last reported that it reaches the endpoint. */
    isReached(endpoint: string, hosts: readonly string[]): boolean {
        return this.#on(endpoint).some(({ reachable, from }) => reachable && hosts.includes(from));
    }

    /** True when a host has reported since that time that the endpoint answers as the primary. */
    wasSeenLeading(endpoint: string, since: number): boolean {
        return this.#on(endpoint).some(({ reachable, term, at }) => reachable && term > 0 && at > since);
    }

    /** Number of these hosts that have reported on the endpoint since that time. */
    countSince(endpoint: string, hosts: readonly string[], since: number): number {
        return this.#on(endpoint).filter(({ from, at }) => hosts.includes(from) && at >= since).length;
    }

    /** Number of hosts whose last unexpired report says that they do not reach the endpoint. */
    countNotReaching(endpoint: string, now: number): number {
        return this.#on(endpoint).filter(({ reachable, at }) => !reachable && now - at <= MAX_REPORT_AGE_MS).length;
    }

    #on(endpoint: string): readonly ReceivedReport[] {
        return [...this.#reports.get(endpoint)?.values() ?? []];
    }

    #all(): readonly ReceivedReport[] {
        return [...this.#reports.keys()].flatMap(endpoint => this.#on(endpoint));
    }
}
