/** TLS sources of one process; renewed files are logged. */

import type { ListenerSettings, ProcessSettings } from '../../settings/process.js'
import type { Logger } from '../log/logger.js'
import type { PeerTls } from '../peer/hub.js'
import { TlsSource } from './tls.js'
import type { TlsSourceOptions } from './tls.js'

/** Loads and stops the TLS sources of a process. */
export class TlsFiles {
  readonly #logger: Logger
  readonly #sources: TlsSource[] = []

  private constructor (logger: Logger) {
    this.#logger = logger
  }

  /**
   * @param logger - told of renewed files
   * @returns no sources yet
   */
  static create (logger: Logger): TlsFiles {
    return new TlsFiles(logger)
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
   * @returns TLS of its peer connections
   * @throws Error when a file cannot be used
   */
  loadPeerTls (settings: ProcessSettings): PeerTls {
    const listener = this.loadListener(settings.peerListener)
    const dialler = settings.peerDialler?.tls === undefined ? undefined : this.#load(settings.peerDialler.tls)
    return { ...(listener === undefined ? {} : { listener }), ...(dialler === undefined ? {} : { dialler }) }
  }

  /** Ends the checks for renewed files. */
  stop (): void {
    for (const source of this.#sources) source.stop()
  }

  #load (files: TlsSourceOptions['files']): TlsSource {
    const source = TlsSource.create({
      files,
      onReload: () => { this.#logger.write('tls-reloaded', { file: files.certFile ?? files.caFile ?? '', accepted: true }) },
      onFault: reason => { this.#logger.write('tls-reloaded', { reason, accepted: false }) }
    })
    this.#sources.push(source)
    return source
  }
}
