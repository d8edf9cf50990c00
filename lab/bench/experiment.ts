/** What the experiments on virtual time share: variants of the product under settings of the load, and their plots. */
import type { ReportRow, Series } from './report.js';

/** The product, or a way of working that it is compared with. */
export interface Variant {
  readonly name: string;
}

/** Measures each variant under each setting; one row for both. */
export async function measureAll<V extends Variant, Setting>(
  variants: readonly V[],
  settings: readonly Setting[],
  measure: (variant: V, setting: Setting) => Promise<ReportRow>,
): Promise<ReportRow[]> {
  const rows: ReportRow[] = [];
  for (const variant of variants) {
    for (const setting of settings) {
      rows.push({ variant: variant.name, ...(await measure(variant, setting)) });
    }
  }
  return rows;
}

/** Line of one column over another, from the rows of a variant. */
export function seriesOf(
  rows: readonly ReportRow[],
  { name }: Variant,
  xColumn: string,
  yColumn: string,
): Series {
  const own = rows.filter((row) => row['variant'] === name);
  const points = own.map((row) => [Number(row[xColumn]), Number(row[yColumn])] as const);
  return { label: name, points };
}
