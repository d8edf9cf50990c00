/** The experiments by name. */
import type { Deployment } from '../fleet/deployment.js';
import { benchChange } from './change_bench.js';
import { benchFailover } from './failover_bench.js';
import { benchProxy } from './proxy_bench.js';
import { benchReplicaReads } from './replica_reads_bench.js';
import type { Report } from './report.js';
import { benchSurge } from './surge_bench.js';

/** Names of the experiments. */
export const BENCHMARKS = ['proxy', 'failover', 'replica-reads', 'surge', 'change'] as const;

type BenchmarkName = (typeof BENCHMARKS)[number];

/** What experiments may need. */
interface BenchmarkOptions {
  readonly deployment: Deployment;
  readonly labProgram: string;
  readonly proxyProgram: string;
}

const RUNNERS: Readonly<Record<BenchmarkName, (options: BenchmarkOptions) => Promise<Report>>> = {
  proxy: ({ labProgram, proxyProgram }) => benchProxy(labProgram, proxyProgram),
  failover: ({ deployment }) => benchFailover(deployment),
  'replica-reads': ({ deployment }) => benchReplicaReads(deployment),
  surge: ({ deployment }) => benchSurge(deployment),
  change: benchChange,
};

/** Runs one experiment. */
export function runBenchmark(name: BenchmarkName, options: BenchmarkOptions): Promise<Report> {
  return RUNNERS[name](options);
}
