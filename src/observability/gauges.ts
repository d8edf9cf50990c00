/** Gauges whose value is read each time the metrics are fetched. */
import { Gauge, type Registry } from 'prom-client';

/** Adds a gauge without labels. */
export function addGauge(
  registry: Registry,
  name: string,
  help: string,
  value: () => number,
): void {
  const gauge: Gauge = new Gauge({
    name,
    help,
    registers: [registry],
    collect: () => gauge.set(value()),
  });
}
