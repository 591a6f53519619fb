/** Metrics of a process in the Prometheus text format. */

import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { assertNever } from '../../kernel/errors.js'
import type { Role } from '../../protocol/messages.js'
import { METRICS } from './table.js'
import type { LabelSpec, MetricSpec } from './table.js'

/** What metrics are created with. */
export interface MetricsOptions {
  readonly role: Role
}

const PREFIX = 'heatherdoor_'
const OTHER_LABEL = 'other'
const US_PER_S = 1_000_000

type Metric =
  | { readonly type: 'counter', readonly spec: MetricSpec, readonly series: Counter }
  | { readonly type: 'histogram', readonly spec: MetricSpec, readonly series: Histogram }
  | { readonly type: 'gauge', readonly spec: MetricSpec, readonly series: Gauge }

/** Registry of the metrics in the table, with a bounded number of values for each label. */
export class Metrics {
  readonly #registry = new Registry()
  readonly #metrics = new Map<string, Metric>()
  /** Label values seen so far by metric, for labels without a fixed list of values. */
  readonly #labelsSeen = new Map<string, Set<string>>()
  readonly #unlisted: Counter

  private constructor (options: MetricsOptions) {
    this.#registry.setDefaultLabels({ role: options.role })
    for (const [name, spec] of Object.entries<MetricSpec>(METRICS[options.role])) this.#metrics.set(name, this.#createMetric(name, spec))
    this.#unlisted = new Counter({
      name: `${PREFIX}unlisted_metrics_total`,
      help: 'Values for metrics that are not in the table.',
      registers: [this.#registry]
    })
    this.#addProcessMetrics()
  }

  /**
   * @param options - role of the process
   * @returns metrics whose values are zero
   */
  static create (options: MetricsOptions): Metrics {
    return new Metrics(options)
  }

  /**
   * Adds to a counter. A metric outside the table is counted as unlisted.
   *
   * @param metric - name from the table
   * @param label - value of the metric's label
   * @param amount - what to add
   */
  count (metric: string, label?: string, amount = 1): void {
    const registered = this.#metrics.get(metric)
    if (registered?.type !== 'counter') this.#unlisted.inc()
    else registered.series.inc(this.#buildLabels(metric, registered.spec.label, label), amount)
  }

  /**
   * Adds a value to a histogram or sets a gauge.
   *
   * @param metric - name from the table
   * @param value - value in the metric's unit
   * @param label - value of the metric's label
   */
  observe (metric: string, value: number, label?: string): void {
    const registered = this.#metrics.get(metric)
    if (registered === undefined || registered.type === 'counter' || !Number.isFinite(value)) {
      this.#unlisted.inc()
      return
    }
    const labels = this.#buildLabels(metric, registered.spec.label, label)
    if (registered.type === 'gauge') registered.series.set(labels, value)
    else registered.series.observe(labels, value)
  }

  /** @returns all metrics in the Prometheus text format */
  async format (): Promise<string> {
    return await this.#registry.metrics()
  }

  #createMetric (name: string, spec: MetricSpec): Metric {
    const common = {
      name: `${PREFIX}${name}${spec.type === 'counter' ? '_total' : ''}`,
      help: spec.help,
      labelNames: spec.label === undefined ? [] : [spec.label.name],
      registers: [this.#registry]
    }
    switch (spec.type) {
      case 'counter': return { type: 'counter', spec, series: new Counter(common) }
      case 'gauge': return { type: 'gauge', spec, series: new Gauge(common) }
      case 'histogram': return { type: 'histogram', spec, series: new Histogram({ ...common, buckets: [...spec.buckets ?? []] }) }
      default: return assertNever(spec.type)
    }
  }

  #buildLabels (metric: string, spec: LabelSpec | undefined, label: string | undefined): Record<string, string> {
    if (spec === undefined) return {}
    return { [spec.name]: label !== undefined && this.#isAllowed(metric, spec, label) ? label : OTHER_LABEL }
  }

  #isAllowed (metric: string, spec: LabelSpec, label: string): boolean {
    if (spec.values.kind === 'list') return spec.values.values.includes(label)
    const seen = this.#labelsSeen.get(metric) ?? new Set()
    this.#labelsSeen.set(metric, seen)
    if (!seen.has(label) && seen.size >= spec.values.max) return false
    seen.add(label)
    return true
  }

  #addProcessMetrics (): void {
    this.#registry.registerMetric(new Gauge({
      name: `${PREFIX}resident_bytes`,
      help: 'Resident memory of the process in bytes.',
      registers: [],
      collect () { this.set(process.memoryUsage.rss()) }
    }))
    this.#registry.registerMetric(new Gauge({
      name: `${PREFIX}cpu_seconds`,
      help: 'CPU time of the process in seconds.',
      registers: [],
      collect () {
        const { user, system } = process.cpuUsage()
        this.set((user + system) / US_PER_S)
      }
    }))
  }
}
