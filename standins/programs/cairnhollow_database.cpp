// Stand-in for one server of a database group.
#include "cli/program.h"
#include "standins/database/database_server.h"
#include "standins/database/settings_file.h"

namespace cli = cairnhollow::cli;
namespace database = cairnhollow::standins::database;

namespace {

cli::ProgramPlan read_settings(cli::SettingsReader& reader) {
  cli::ProgramPlan plan;
  const database::DatabaseSettings settings = database::read_database_settings(reader);
  plan.node = settings.backend.value;
  plan.zone = settings.zone.value;
  plan.data_folder = cli::read_data_folder(reader);
  plan.make_role = [settings](cairnhollow::runtime::Runtime& runtime) {
    return database::make_database(runtime, settings);
  };
  return plan;
}

}  // namespace

int main(int argument_count, char** arguments) {
  const cli::ProgramDefinition definition{"cairnhollow-database", "one member of a stand-in database group",
                                          read_settings};
  return cli::run_program(definition, argument_count, arguments);
}
