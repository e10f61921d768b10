/** One metric with its samples: the label values and the number of each. A counter's name ends in `_total`. */
export type MetricFamily = {
  name: string;
  help: string;
  kind: 'counter' | 'gauge';
  samples: readonly { labels: Readonly<Record<string, string>>; value: number }[];
};
