/** The experiments by name. */
import type { Deployment } from '../fleet/deployment.js';
import { benchChange } from './change_bench.js';
import { runExperiment } from './experiment.js';
import { FAILOVER } from './failover_bench.js';
import { benchProxy } from './proxy_bench.js';
import { REPLICA_READS } from './replica_reads_bench.js';
import type { Report } from './report.js';
import { SURGE } from './surge_bench.js';

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
  failover: ({ deployment }) => runExperiment(FAILOVER, deployment),
  'replica-reads': ({ deployment }) => runExperiment(REPLICA_READS, deployment),
  surge: ({ deployment }) => runExperiment(SURGE, deployment),
  change: benchChange,
};

/** Runs one experiment. */
export function runBenchmark(name: BenchmarkName, options: BenchmarkOptions): Promise<Report> {
  return RUNNERS[name](options);
}
