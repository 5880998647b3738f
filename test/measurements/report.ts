/** Reports of measurements: histograms, and a static HTML page with plots. */
import { cpus, totalmem } from 'node:os';
import hdr, { type Histogram } from 'hdr-histogram-js';
import * as vega from 'vega';
import * as vegaLite from 'vega-lite';

const GIBIBYTE = 2 ** 30;
const PERCENTILES = [50, 95, 99, 100] as const;

/** ms values of one kind, for instance of one version. */
export class Series {
  readonly values: number[] = [];
  readonly #histogram: Histogram = hdr.build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000,
  });

  constructor(readonly name: string) {}

  add(ms: number): void {
    this.values.push(ms);
    this.#histogram.recordValue(Math.max(1, Math.round(ms)));
  }

  /** Count and percentiles, 100 being the largest. */
  summary(): Record<string, number | string> {
    const at = (p: number) => this.#histogram.getValueAtPercentile(p);
    const percentiles = Object.fromEntries(PERCENTILES.map((p) => [`p${p}`, at(p)]));
    return { series: this.name, count: this.values.length, ...percentiles };
  }
}

/** One plot: the cumulative distribution of each series. */
export interface Plot {
  readonly title: string;
  readonly unit: string;
  readonly series: readonly Series[];
}

const renderPlot = async ({ title, unit, series }: Plot): Promise<string> => {
  const values = series.flatMap(({ name, values: all }) =>
    [...all]
      .sort((a, b) => a - b)
      .map((value, i) => ({ series: name, value, share: (i + 1) / all.length })),
  );
  const { spec } = vegaLite.compile({
    title,
    width: 560,
    height: 260,
    data: { values },
    mark: { type: 'line', interpolate: 'step-after' },
    encoding: {
      x: { field: 'value', type: 'quantitative', title: unit },
      y: { field: 'share', type: 'quantitative', title: 'share of values' },
      color: { field: 'series', type: 'nominal' },
    },
  });
  return new vega.View(vega.parse(spec), { renderer: 'none' }).toSVG();
};

const escapeHtml = (text: string): string => text.replace(/&/g, '&amp;').replace(/</g, '&lt;');

const htmlTable = (cells: readonly Record<string, unknown>[]): string => {
  const titles = Object.keys(cells[0] ?? {});
  const line = (tag: string, values: readonly unknown[]) =>
    `<tr>${values.map((value) => `<${tag}>${escapeHtml(String(value))}</${tag}>`).join('')}</tr>`;
  const body = cells.map((row) =>
    line(
      'td',
      titles.map((title) => row[title]),
    ),
  );
  return `<table>${line('th', titles)}${body.join('')}</table>`;
};

/** The machine that measured, for the page and for results. */
export const machineText = (): string =>
  `${cpus().length} cores, ${Math.round(totalmem() / GIBIBYTE)} GiB, Node.js ${process.version}`;

/** A page without any external resource. */
export const htmlReport = async (
  title: string,
  settings: Readonly<Record<string, unknown>>,
  plots: readonly Plot[],
  counts: Readonly<Record<string, unknown>> = {},
): Promise<string> => {
  const sections = [
    '<!doctype html><meta charset="utf-8">',
    `<title>${escapeHtml(title)}</title>`,
    '<style>body{font:15px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:right}</style>',
    `<h1>${escapeHtml(title)}</h1>`,
    htmlTable([{ machine: machineText(), ...settings }]),
    Object.keys(counts).length > 0 ? htmlTable([counts]) : '',
  ];
  for (const plot of plots) {
    sections.push(htmlTable(plot.series.map((series) => series.summary())), await renderPlot(plot));
  }
  return `${sections.join('\n')}\n`;
};
