export interface Point {
    readonly x: number;
    readonly y: number;
}

/** The line `y = base + slope * x` with the smallest sum of squared errors. */
export interface Line {
    readonly slope: number;
    readonly base: number;
    /** Share of the variance that the line explains; 1 when all points lie on it. */
    readonly r2: number;
}

export function fitLine(points: readonly Point[]): Line {
    const count = points.length;
    const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
    const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
    const xx = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
    const yy = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0);
    const xy = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
    const slope = xx === 0 ? 0 : xy / xx;
    return { slope, base: meanY - slope * meanX, r2: xx === 0 || yy === 0 ? 1 : xy ** 2 / (xx * yy) };
}
