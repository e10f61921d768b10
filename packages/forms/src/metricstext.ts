import type { MetricFamily } from './metricfamily.js';

const PREFIX = 'pumicebarrow_';
const escapeValue = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
const renderLabels = (labels: Readonly<Record<string, string>>): string => {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}="${escapeValue(value)}"`);
  return pairs.length > 0 ? `{${pairs.join(',')}}` : '';
};

/**
 * Renders metrics in the Prometheus text format. The daemons of the routed fleet restart often, and every module loaded
 * adds to the cost of a start, so they use this for their few metrics instead of `MetricsRegistry`, which loads a whole
 * client library.
 */
export const MetricsText = {
  render: (families: readonly MetricFamily[]): string =>
    families
      .map((family) => {
        const name = PREFIX + family.name;
        const header = `# HELP ${name} ${family.help}\n# TYPE ${name} ${family.kind}\n`;
        return header + family.samples.map((s) => `${name}${renderLabels(s.labels)} ${s.value}\n`).join('');
      })
      .join(''),
};
