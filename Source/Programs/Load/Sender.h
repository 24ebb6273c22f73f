/// \file
/// One caller's connection to a node.

#ifndef ACACIAROAD_LOAD_SENDER_H
#define ACACIAROAD_LOAD_SENDER_H

#include <string>

#include <httplib.h>

#include "Programs/Load/Experiment.h"
#include "Programs/Load/Sample.h"

namespace acaciaroad::load {

/// Sends requests one after the other and judges the answers. Never sends one
/// twice.
class Sender {
public:
  /// \p onAnswer may be empty.
  Sender(const Experiment &experiment, const core::Endpoint &target,
         AnswerHandler onAnswer = {});

  /// Blocks until the answer or the timeout.
  Ending send(const Shot &shot);

private:
  httplib::Request requestFor(const Shot &shot) const;
  Ending judge(const httplib::Request &request, const httplib::Result &answer,
               const WorkClass &workClass) const;

  void tellAnswer(const httplib::Request &request,
                  const httplib::Response &response) const;

  const Experiment &Plan;
  httplib::Client Http;
  const AnswerHandler OnAnswer;
};

} // namespace acaciaroad::load

#endif
