/** TLS sources of one process. Reloads of renewed files are logged. */

import type { DiallerTlsFiles, ListenerSettings, ProcessSettings } from '../../settings/process.js'
import type { Logger } from '../log/logger.js'
import type { PeerTls } from '../peer/hub.js'
import { TlsSource, buildTlsConnector } from './tls.js'
import type { Connector, TlsSourceOptions } from './tls.js'

/** Loads and stops the TLS sources of a process. */
export class TlsSources {
  readonly #logger: Logger
  readonly #sources: TlsSource[] = []

  private constructor (logger: Logger) {
    this.#logger = logger
  }

  /**
   * @param logger - logs reloads of renewed files
   * @returns an empty set of sources
   */
  static create (logger: Logger): TlsSources {
    return new TlsSources(logger)
  }

  /**
   * @param listener - settings of a listener
   * @returns its TLS source; undefined when it is plain TCP
   * @throws Error when a file cannot be used
   */
  loadListener (listener: ListenerSettings): TlsSource | undefined {
    return listener.tls === undefined ? undefined : this.#load(listener.tls)
  }

  /**
   * @param settings - settings of the process
   * @returns TLS sources of its peer connections
   * @throws Error when a file cannot be used
   */
  loadPeerTls (settings: ProcessSettings): PeerTls {
    const listener = this.loadListener(settings.peerListener)
    const dialler = settings.peerDialler?.tls === undefined ? undefined : this.#load(settings.peerDialler.tls)
    return { ...(listener === undefined ? {} : { listener }), ...(dialler === undefined ? {} : { dialler }) }
  }

  /**
   * @param files - settings of outbound connections
   * @returns their TLS source; undefined when the settings have no files
   * @throws Error when a file cannot be used
   */
  loadDialler (files: DiallerTlsFiles | undefined): TlsSource | undefined {
    return files === undefined ? undefined : this.#load(files)
  }

  /**
   * @param files - settings of outbound connections
   * @param timeoutMs - timeout for opening a connection in ms
   * @returns connector of an HTTP client; undefined when the settings have no files
   * @throws Error when a file cannot be used
   */
  loadConnector (files: DiallerTlsFiles | undefined, timeoutMs: number): Connector | undefined {
    return files === undefined ? undefined : buildTlsConnector(this.#load(files), timeoutMs)
  }

  /** Stops checking for renewed files. */
  stop (): void {
    for (const source of this.#sources) source.stop()
  }

  #load (files: TlsSourceOptions['files']): TlsSource {
    const source = TlsSource.create({
      files,
      onReload: () => { this.#logger.write('tls-reloaded', { file: files.certFile ?? files.caFile ?? '', accepted: true }) },
      onError: reason => { this.#logger.write('tls-reloaded', { reason, accepted: false }) }
    })
    this.#sources.push(source)
    return source
  }
}
