/** Reports of experiments: JSON lines, a Markdown table and an SVG plot. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** One row: names of columns to values. */
export type ReportRow = Readonly<Record<string, string | number>>;

/** A line of a plot. */
interface Series {
  readonly label: string;
  readonly points: readonly (readonly [x: number, y: number])[];
}

/** A plot with a logarithmic horizontal axis. */
interface Plot {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly Series[];
}

/** One experiment's results. */
export interface Report {
  /** File name without extension. */
  readonly name: string;
  readonly title: string;
  /** How the figures came about, and what they do not show. */
  readonly notes: readonly string[];
  readonly rows: readonly ReportRow[];
  readonly plot?: Plot;
}

function cell(value: string | number | undefined): string {
  if (typeof value !== 'number') return value ?? '';
  if (Number.isNaN(value)) return '-';
  return Number.isInteger(value) ? String(value) : value.toPrecision(3);
}

function markdownTable(rows: readonly ReportRow[]): string {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
  return [
    line(columns),
    line(columns.map(() => '---')),
    ...rows.map((row) => line(columns.map((column) => cell(row[column])))),
  ].join('\n');
}

const WIDTH = 640;
const HEIGHT = 360;
const MARGIN = 60;
const TICKS = 5;
const COLOURS = ['#1b6ca8', '#c8553d', '#4a8f5b', '#8a5fa0', '#b08900', '#555555'];

function escape(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

function label(x: number, y: number, text: string, anchor: string): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${escape(text)}</text>`;
}

/** SVG text of a plot. */
function svgOf(plot: Plot): string {
  const points = plot.series.flatMap((series) => series.points);
  const xs = points.map(([x]) => Math.log10(x));
  const highest = Math.max(...points.map(([, y]) => y), 0) || 1;
  const [left, right] = [Math.min(...xs), Math.max(...xs)];
  const placeX = (x: number): number => {
    const share = right === left ? 0.5 : (Math.log10(x) - left) / (right - left);
    return MARGIN + share * (WIDTH - 2 * MARGIN);
  };
  const placeY = (y: number): number => HEIGHT - MARGIN - (y / highest) * (HEIGHT - 2 * MARGIN);
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="11">`,
    '<rect width="100%" height="100%" fill="white"/>',
    label(WIDTH / 2, 20, plot.title, 'middle'),
    label(WIDTH / 2, HEIGHT - 12, plot.xLabel, 'middle'),
    label(8, MARGIN - 16, plot.yLabel, 'start'),
  ];
  for (let tick = 0; tick <= TICKS; tick++) {
    const value = (highest * tick) / TICKS;
    const y = placeY(value);
    const line = `x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${y.toFixed(1)}" y2="${y.toFixed(1)}"`;
    parts.push(`<line ${line} stroke="#dddddd"/>`, label(MARGIN - 6, y + 4, cell(value), 'end'));
  }
  for (const x of [...new Set(points.map(([value]) => value))]) {
    parts.push(label(placeX(x), HEIGHT - MARGIN + 16, cell(x), 'middle'));
  }
  for (const [index, series] of plot.series.entries()) {
    const colour = COLOURS[index % COLOURS.length]!;
    const path = series.points.map(([x, y]) => `${placeX(x).toFixed(1)},${placeY(y).toFixed(1)}`);
    parts.push(
      `<polyline points="${path.join(' ')}" fill="none" stroke="${colour}" stroke-width="2"/>`,
    );
    parts.push(
      `<text x="${WIDTH - MARGIN}" y="${MARGIN - 20 + index * 14}" text-anchor="end" fill="${colour}">${escape(series.label)}</text>`,
    );
  }
  return [...parts, '</svg>', ''].join('\n');
}

/** Markdown text of a report. */
function markdownOf(report: Report): string {
  const image = report.plot ? [`![${report.plot.title}](${report.name}.svg)`, ''] : [];
  const notes = report.notes.map((note) => `- ${note}`);
  return [`# ${report.title}`, '', ...notes, '', markdownTable(report.rows), '', ...image].join(
    '\n',
  );
}

/** Prints a report as JSON lines and a table, and writes it when a folder is given. */
export function publish(report: Report, folder: string | undefined): void {
  for (const row of report.rows) console.log(JSON.stringify({ experiment: report.name, ...row }));
  console.log(`\n${markdownOf(report)}`);
  if (folder === undefined) return;
  mkdirSync(folder, { recursive: true });
  writeFileSync(join(folder, `${report.name}.md`), markdownOf(report));
  if (report.plot) writeFileSync(join(folder, `${report.name}.svg`), svgOf(report.plot));
}
