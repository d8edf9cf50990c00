/**
 * An experiment on virtual time: each variant of the product under each setting of the load, one row of the report
 * for both. Owns the order of the rows, the report and its plot; relies on the experiments for what is measured.
 */
import type { Deployment } from '../fleet/deployment.js';
import type { Report, ReportRow } from './report.js';

/** The product, or a way of working that it is compared with. */
export interface Variant {
  readonly name: string;
}

/** Which columns of which rows are drawn, one line a variant. */
interface ExperimentPlot<V extends Variant> {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly xColumn: string;
  readonly yColumn: string;
  readonly variants: readonly V[];
  label(variant: V): string;
  /** Whether a row of such a variant is a point of the line. */
  includes(row: ReportRow): boolean;
}

/** One experiment. */
export interface Experiment<V extends Variant, Setting> {
  /** Begin of the report's file name; the deployment's name follows. */
  readonly name: string;
  readonly title: string;
  readonly variants: readonly V[];
  readonly settings: readonly Setting[];
  readonly plot?: ExperimentPlot<V>;
  notes(deployment: Deployment): readonly string[];
  /** Measures one variant under one setting; the columns of its row but the variant's name. */
  measure(deployment: Deployment, variant: V, setting: Setting): Promise<ReportRow>;
}

function plotOf<V extends Variant>(
  plot: ExperimentPlot<V>,
  rows: readonly ReportRow[],
): Report['plot'] {
  const { title, xLabel, yLabel, xColumn, yColumn } = plot;
  const series = plot.variants.map((variant) => ({
    label: plot.label(variant),
    points: rows
      .filter((row) => row['variant'] === variant.name && plot.includes(row))
      .map((row) => [Number(row[xColumn]), Number(row[yColumn])] as const),
  }));
  return { title, xLabel, yLabel, series };
}

/** Runs an experiment for one deployment. */
export async function runExperiment<V extends Variant, Setting>(
  experiment: Experiment<V, Setting>,
  deployment: Deployment,
): Promise<Report> {
  const { name, title, variants, settings, plot } = experiment;
  const rows: ReportRow[] = [];
  for (const variant of variants) {
    for (const setting of settings) {
      const row = await experiment.measure(deployment, variant, setting);
      rows.push({ variant: variant.name, ...row });
    }
  }
  return {
    name: `${name}-${deployment.name}`,
    title: `${title}, deployment ${deployment.name}`,
    notes: experiment.notes(deployment),
    rows,
    plot: plot && plotOf(plot, rows),
  };
}
