import type { MetricFamily } from './metricfamily.js';

const PREFIX = 'pumicebarrow_';
const escaped = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
const labelText = (labels: Readonly<Record<string, string>>): string => {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}="${escaped(value)}"`);
  return pairs.length > 0 ? `{${pairs.join(',')}}` : '';
};

/**
 * Metrics in the Prometheus text format. The daemons of the routed fleet restart often and are charged for what they
 * load at a start, so they render their few metrics here; `Meters` brings a whole client library.
 */
export const MetricsText = {
  of: (families: readonly MetricFamily[]): string =>
    families
      .map((family) => {
        const name = PREFIX + family.name;
        const head = `# HELP ${name} ${family.help}\n# TYPE ${name} ${family.kind}\n`;
        return head + family.samples.map((s) => `${name}${labelText(s.labels)} ${s.value}\n`).join('');
      })
      .join(''),
};
