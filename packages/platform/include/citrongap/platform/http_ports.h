// Adapters of the ports to the HTTP protocol of
// docs/design/platform-protocol.md.
#ifndef CITRONGAP_PLATFORM_HTTP_PORTS_H
#define CITRONGAP_PLATFORM_HTTP_PORTS_H

#include "citrongap/net/http_client.h"
#include "citrongap/platform/backend_port.h"
#include "citrongap/platform/log_port.h"
#include "citrongap/platform/vm_list_port.h"

namespace citrongap {

class HttpLogPort final : public LogPort {
public:
  HttpLogPort(HttpClient &http, Endpoint platform);
  void append(const std::string &stream, std::vector<std::string> bodies,
              MonoTime deadline, PortCallback<LogOffset> callback) override;
  void read(const std::string &stream, LogOffset from, Millis wait,
            MonoTime deadline, PortCallback<LogPage> callback) override;

private:
  HttpClient &Http;
  Endpoint Platform;
};

class HttpVmListPort final : public VmListPort {
public:
  HttpVmListPort(HttpClient &http, Endpoint platform, DataCentreId viewer);
  void fetch(MonoTime deadline, PortCallback<VmList> callback) override;

private:
  HttpClient &Http;
  Endpoint Platform;
  DataCentreId Viewer;
};

class HttpBackendPort final : public BackendPort {
public:
  explicit HttpBackendPort(HttpClient &http);
  void clock(const Endpoint &server, MonoTime deadline,
             PortCallback<ServerTime> callback) override;
  void acquire(const Endpoint &server, const EntryVmId &holder, Millis term,
               ServerTime from, std::optional<FencingToken> previous,
               MonoTime deadline, PortCallback<FencingToken> callback) override;
  void sync(const Endpoint &server, const SyncRequest &request,
            MonoTime deadline, PortCallback<SyncAnswer> callback) override;
  void prepare(const Endpoint &server, FencingToken token,
               const PrepareTask &task, MonoTime deadline,
               PortCallback<std::monostate> callback) override;
  void release(const Endpoint &server, FencingToken token, const TaskId &task,
               ServerTime from, MonoTime deadline,
               PortCallback<std::monostate> callback) override;
  void stop(const Endpoint &server, FencingToken token, const TaskId &task,
            bool checkpoint, MonoTime deadline,
            PortCallback<TaskState> callback) override;

private:
  HttpClient &Http;
};

} // namespace citrongap

#endif // CITRONGAP_PLATFORM_HTTP_PORTS_H
